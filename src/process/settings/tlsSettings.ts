/** Certificate and private key of a listener, in PEM format. */
export interface TlsSettings {
    certificate: string;
    key: string;
}
