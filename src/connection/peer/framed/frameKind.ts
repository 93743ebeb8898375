/** What a frame brings. */
export const FrameKind = {
    /** The input of a call. */
    Request: 0,
    /** The output of a call. */
    Answer: 1,
    /** Why a call failed, as text. */
    Failure: 2,
} as const;
export type FrameKind = typeof FrameKind[keyof typeof FrameKind];
