/** The complete response of a document service. */
export interface DocumentAnswer {
    status: number;
    contentType: string;
    body: Buffer;
}
