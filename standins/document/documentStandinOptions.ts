/** Options of the document service stand-in. */
export interface DocumentStandinOptions {
    name: string;
    /** TCP port on 127.0.0.1; 0 for any free port. */
    port: number;
    /** Duration of an execution, in milliseconds. */
    delayMilliseconds: number;
}
