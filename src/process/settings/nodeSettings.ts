import type { TlsSettings } from "./tlsSettings.ts";

/** Settings of one process, checked, with defaults filled in and the files that they name read. */
export interface NodeSettings {
    /** Name of this machine; also the id of the node. */
    vm: string;
    dataCentre: string;
    /** host:port, by IP number, where callers connect. */
    callerListener: string;
    /** host:port, by IP number, where other nodes connect. */
    peerListener: string;
    /** host:port, by IP number, of metrics, health and status. */
    adminListener: string;
    platform: {
        /** host:port of the platform's key-value service. */
        storeAddress: string;
        /** host:port of the platform's list of machines. */
        vmListAddress: string;
        /** Longest time that one call to the platform may take, in milliseconds. */
        timeoutMilliseconds: number;
    };
    /** Peer listeners of some other nodes, to find the rest through. */
    peers: string[];
    /** Secret that all nodes share, of at least 16 characters. */
    peerSecret: string;
    tracing: {
        /** URL of the OTLP collector; no spans are exported where undefined. */
        otlpAddress?: string;
        /** Share of the requests that are traced, from 0 to 1. */
        sampleRatio: number;
    };
    logging: {
        /** Least severe level that is written. */
        level: "info" | "warn" | "error";
    };
    /** Longest time that a graceful shutdown waits for requests in progress, in milliseconds. */
    shutdownMilliseconds: number;
    tls: {
        /** Plain HTTP where undefined. */
        callers?: TlsSettings;
        /** Plain connections between the nodes where undefined. */
        peers?: TlsSettings & {
            /** Authority that must have signed the other nodes' certificates. */
            authority: string;
        };
    };
    limits: {
        /** Most connections of callers at the same time. */
        maximumConnections: number;
        /** Longest time that a caller may take to send a request's header, in milliseconds. */
        headerTimeoutMilliseconds: number;
        /** Longest time that a caller may take to send a whole request, in milliseconds. */
        bodyTimeoutMilliseconds: number;
    };
}
