/** Certificates of one listener, as PEM text. */
export interface TlsSettings {
    certificate: string;
    key: string;
}
