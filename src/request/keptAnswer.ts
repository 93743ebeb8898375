/** The final answer of a claimed request, kept for the caller's repeats. */
export interface KeptAnswer {
    status: number;
    contentType: string;
    body: Buffer;
}
