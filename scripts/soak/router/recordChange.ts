/** What may become of the record of an endpoint that goes on serving, until it is written again. */
export const RecordChange = {
    /** It is missing, as after late heartbeats. */
    Lapse: "lapse",
    /** It says that the endpoint is draining. */
    Draining: "draining",
} as const;
export type RecordChange = typeof RecordChange[keyof typeof RecordChange];
