/** The complete response of a document service. */
export interface DocumentAnswer {
    status: number;
    contentType: string;
    body: Buffer;
    /** Time in milliseconds for which the endpoint, which has refused the call, wants no further ones; undefined if it names none. */
    pauseMilliseconds?: number;
}
