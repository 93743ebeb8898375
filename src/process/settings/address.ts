/** A TCP address by IP number. */
export interface Address {
    /** IPv4 or IPv6 number, without brackets. */
    host: string;
    /** Port; 0 lets the operating system choose one. */
    port: number;
}
