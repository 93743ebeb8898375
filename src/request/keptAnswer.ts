/** The stored final answer of a claimed request, which is replayed to retries of the caller. */
export interface KeptAnswer {
    status: number;
    contentType: string;
    body: Buffer;
}
