import type { TlsSettings } from "../../process/settings/tlsSettings.ts";
import type { RequestEnvironment } from "../../request/requestEnvironment.ts";
import type { ConfigurationVersion } from "../../version/configurationVersion.ts";
import type { CustomerIndex } from "../../version/customerIndex.ts";

/** Options of a `CallerServer`. */
export interface CallerServerOptions {
    /** Address to listen on, as host:port. */
    listener: string;
    tls?: TlsSettings;
    limits: {
        maximumConnections: number;
        /** How much may be held in memory for callers, in bytes. */
        maximumHeldBytes: number;
        /** Requests of a connection that are handled at the same time. */
        maximumRequestsPerConnection: number;
        headerTimeoutMilliseconds: number;
        bodyTimeoutMilliseconds: number;
    };
    environment: RequestEnvironment;
    /** Gets the current configuration, or undefined while the node has none. */
    getVersion(): { version: ConfigurationVersion; customers: CustomerIndex; } | undefined;
    /** Gets the reason why the node refuses new requests, or undefined while it accepts them. */
    getRefusal(): { code: string; message: string; retryAfterMilliseconds: number; } | undefined;
}
