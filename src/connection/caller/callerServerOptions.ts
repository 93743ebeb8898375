import type { TlsSettings } from "../../process/settings/tlsSettings.ts";
import type { RequestEnvironment } from "../../request/requestEnvironment.ts";
import type { ConfigurationVersion } from "../../version/configurationVersion.ts";
import type { CustomerIndex } from "../../version/customerIndex.ts";

/** Options of a `CallerServer`. */
export interface CallerServerOptions {
    /** host:port. */
    listener: string;
    tls?: TlsSettings;
    limits: { maximumConnections: number; headerTimeoutMilliseconds: number; bodyTimeoutMilliseconds: number; };
    environment: RequestEnvironment;
    /** The configuration in force, or undefined while the node has none. */
    getVersion(): { version: ConfigurationVersion; customers: CustomerIndex; } | undefined;
    /** Why the node takes no new requests; undefined while it does. */
    getRefusal(): { code: string; message: string; retryAfterMilliseconds: number; } | undefined;
}
