/** Certificates for calls between nodes, in PEM form. Both sides present one and check the other's. */
export interface PeerTls {
    /** Certificate of this node. */
    certificate: string;
    /** Private key of this node. */
    key: string;
    /** Certificate of the authority that signed the certificates of all nodes. */
    authority: string;
}
