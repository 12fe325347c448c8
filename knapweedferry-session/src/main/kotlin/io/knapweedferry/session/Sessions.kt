package io.knapweedferry.session

/** Creates clients and servers of the session protocol. */
public object Sessions {
    /** Loopback address with an ephemeral port. */
    public const val ANY_LOOPBACK_PORT: String = "127.0.0.1:0"

    /** Returns a client that connects on demand. */
    public fun client(
        settings: SessionSettings,
        counters: SessionCounters = SessionCounters.NONE,
    ): SessionClient = PooledSessionClient(settings, counters)

    /**
     * Listens on [listenAddress] (`ip:port`) and passes each exchange to [handler].
     *
     * @throws java.io.IOException if the port is in use or the address is invalid or not local
     */
    public suspend fun server(
        settings: SessionSettings,
        handler: ExchangeHandler,
        listenAddress: String = ANY_LOOPBACK_PORT,
        counters: SessionCounters = SessionCounters.NONE,
    ): SessionServer = SocketSessionServer.listen(settings, handler, listenAddress, counters)
}
