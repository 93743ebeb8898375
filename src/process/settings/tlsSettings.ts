/** Certificates of one listener, as PEM text. */
export interface TlsSettings {
    certificate: string;
    key: string;
    /** Authority that must have signed the other side's certificate; undefined where none is asked for. */
    authority?: string;
}
