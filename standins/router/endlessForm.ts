/** Bytes that an endless answer begins with and then repeats until the caller closes the connection. */
export interface EndlessForm {
    /** Creates what comes once. The id is that of the request. */
    createStart(requestId: string): string;
    /** Creates what is repeated, from the number of repetitions so far. */
    createNext(count: number): string;
}
