/** Settings of a router node on a platform. */
export interface RouterSettings {
    vm: string;
    dataCentre: string;
    /** Address of the listener for callers, as host:port. */
    callerListener: string;
    /** Address of the listener for the load balancer's readiness checks, as host:port. */
    readinessListener: string;
    /** Address of the listener for peers, as host:port. */
    peerListener: string;
    /** Address of the listener for peers' tunnels to endpoints, as host:port. */
    tunnelListener: string;
    /** Address of the listener for metrics and status, as host:port. */
    adminListener: string;
    /** Addresses of the peer listeners of some nodes. */
    seeds: string[];
    /** Address of the platform's store, as host:port. */
    storeAddress: string;
    /** How much may be held in memory for callers, in bytes. */
    maximumHeldBytes: number;
    /** Maximum number of connections of callers. */
    maximumConnections: number;
    /** Maximum time from SIGTERM to the end of the process, in milliseconds. */
    shutdownMilliseconds: number;
    /** Maximum time for a configuration to come into force on every node, in milliseconds. */
    configurationMilliseconds: number;
    /** How long an endpoint that is draining or gone may still get requests, in milliseconds. */
    drainMilliseconds: number;
    /** Number of retries allowed per request. */
    repeatRatio: number;
    /** Number of additional retries that all nodes together may send in a window. */
    repeatSlack: number;
    repeatWindowMilliseconds: number;
}
