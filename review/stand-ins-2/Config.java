/** Configuration like that of a small deployment: a plain service with a non-idempotent and an idempotent route, and a model service. */
final class Config {
    static final String HOST = "ficu95.example";
    static final String PLAIN = "dockdesk";
    static final String MODEL = "vest-llm";

    private Config() {}

    static String json(int version, int plainTimeoutMs) {
        return ("""
            {"version":%d,"routes":[
            {"name":"r-stamp","host":"ficu95.example","path-prefix":"/stamp/","kind":"non_idempotent","timeout-ms":%d,"target-latency-ms":121,"priority":2,"service":"dockdesk","max-attempts":1,"sticky":false,"resumable":false},
            {"name":"r-lookup","host":"ficu95.example","path-prefix":"/lookup/","kind":"idempotent","timeout-ms":%d,"target-latency-ms":121,"priority":2,"service":"dockdesk","max-attempts":2,"sticky":false,"resumable":false},
            {"name":"r-review","host":"ficu95.example","path-prefix":"/review/","kind":"streaming","timeout-ms":14000,"target-latency-ms":800,"priority":0,"service":"vest-llm","max-attempts":2,"sticky":true,"resumable":true,"gap-target-ms":300},
            {"name":"r-note","host":"ficu95.example","path-prefix":"/note/","kind":"streaming","timeout-ms":14000,"target-latency-ms":2000,"priority":2,"service":"vest-llm","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":300}],
            "services":[{"name":"vest-llm","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":34009,"kv-token-bytes":18432,"link-mbps":550000.0,"moves":true,"backups":true,"stride":13,"most":12,"handle-ttl-s":0.5,"switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}},
            {"name":"dockdesk","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}
            """).formatted(version, plainTimeoutMs, plainTimeoutMs);
    }
}
