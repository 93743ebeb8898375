/** A TCP address. */
export interface Address {
    /** IPv4 or IPv6 address, without brackets. */
    host: string;
    /** Port, or 0 to let the operating system choose one. */
    port: number;
}
