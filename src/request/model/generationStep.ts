import type { Pass } from "../../connection/endpoint/engineProtocol.ts";

/** A pass that is to be sent, without the number that its connection chooses. */
export type NextPass = Omit<Pass, "id">;

/** What the result of a pass leads to. */
export type GenerationStep =
    /** The next stage runs the same positions. */
    | { kind: "nextStage"; stage: number; pass: NextPass; }
    /** A token was accepted, and the first stage runs it. */
    | { kind: "token"; text: string; stage: number; pass: NextPass; }
    /** A token was accepted that ends the answer; its text may be empty. */
    | { kind: "ended"; text: string; finishReason: "stop" | "length"; }
    /** The result belongs to an older attempt or to a part that was accepted before: it is dropped. */
    | { kind: "stale"; reason: "attempt" | "position" | "layers"; }
    /** The endpoint's result does not fit the pass; the attempt is over. */
    | { kind: "malformed"; message: string; };
