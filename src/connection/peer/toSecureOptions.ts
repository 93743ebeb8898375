import type { PeerTls } from "./peerTls.ts";

/** Creates the options of a client connection with mutual TLS. */
export function toSecureOptions(tls: PeerTls): { cert: string; key: string; ca: string; } {
    return { cert: tls.certificate, key: tls.key, ca: tls.authority };
}
