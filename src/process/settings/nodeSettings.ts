import type { TlsSettings } from "./tlsSettings.ts";

/** Validated settings of a process, with defaults filled in and file references replaced by the contents of the files. */
export interface NodeSettings {
    /** Name of this VM, which is also the id of the node. */
    vm: string;
    dataCentre: string;
    /** Address for callers, as `host:port` with an IP address. */
    callerListener: string;
    /** Address for other nodes, as `host:port` with an IP address. */
    peerListener: string;
    /** Address for metrics, health and status, as `host:port` with an IP address. */
    adminListener: string;
    platform: {
        /** Address of the platform's key-value store, as `host:port` with an IP address. */
        storeAddress: string;
        /** Address of the platform's VM list service, as `host:port` with an IP address. */
        vmListAddress: string;
        /** Timeout of a call to the platform. */
        timeoutMilliseconds: number;
    };
    /** Peer addresses of some other nodes, used to discover the rest. */
    peers: string[];
    /** Secret shared by all nodes, with at least 16 characters. */
    peerSecret: string;
    tracing: {
        /** URL of the OTLP collector. No spans are exported if undefined. */
        otlpAddress?: string;
        /** Fraction of the requests that are traced, from 0 to 1. */
        sampleRatio: number;
    };
    logging: {
        /** Minimum level of the events that are written. */
        level: "info" | "warn" | "error";
    };
    /** Longest time that a graceful shutdown waits for requests in flight. */
    shutdownMilliseconds: number;
    tls: {
        /** TLS for callers. Plain HTTP if undefined. */
        callers?: TlsSettings;
        /** TLS between the nodes. Unencrypted connections if undefined. */
        peers?: TlsSettings & {
            /** Certificate of the authority that must have signed the certificates of the other nodes. */
            authority: string;
        };
    };
    limits: {
        /** Maximum number of concurrent caller connections. */
        maximumConnections: number;
        /** How much may be held in memory for callers, in bytes. */
        maximumHeldBytes: number;
        /** Maximum number of requests of a connection that are handled at the same time. */
        maximumRequestsPerConnection: number;
        /** Time limit for a caller to send the headers of a request. */
        headerTimeoutMilliseconds: number;
        /** Time limit for a caller to send a complete request. */
        bodyTimeoutMilliseconds: number;
    };
}
