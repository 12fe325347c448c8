package io.knapweedferry.session

/** Makes both ends of sessions. */
public object Sessions {
    /** Loopback address with a port chosen by the system. */
    public const val ANY_LOOPBACK_PORT: String = "127.0.0.1:0"

    /** Returns a client that connects on demand. */
    public fun client(
        settings: SessionSettings,
        counters: SessionCounters = SessionCounters.NONE,
    ): SessionClient = PooledSessionClient(settings, counters)

    /**
     * Listens on [listenAddress] (ip:port) and passes each exchange to [handler].
     *
     * @throws java.io.IOException if the port is taken or the address is not local
     */
    public suspend fun server(
        settings: SessionSettings,
        handler: ExchangeHandler,
        listenAddress: String = ANY_LOOPBACK_PORT,
        counters: SessionCounters = SessionCounters.NONE,
    ): SessionServer = SocketSessionServer.listen(settings, handler, listenAddress, counters)
}
