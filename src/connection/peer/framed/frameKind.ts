/** Kinds of frames. */
export const FrameKind = {
    /** The input of a call. */
    Request: 0,
    /** The output of a call. */
    Answer: 1,
    /** The error message of a failed call. */
    Failure: 2,
} as const;
export type FrameKind = typeof FrameKind[keyof typeof FrameKind];
