/** Certificates for calls between nodes (mutual TLS), in PEM format. */
export interface PeerTls {
    /** Certificate of this node. */
    certificate: string;
    /** Private key of this node. */
    key: string;
    /** Certificate of the authority (CA) that signed the certificates of all nodes. */
    authority: string;
}
