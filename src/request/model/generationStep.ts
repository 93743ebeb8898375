import type { Pass } from "../../connection/endpoint/engineProtocol.ts";

/** The next pass to send, without the ID that its connection assigns. */
export type NextPass = Omit<Pass, "id">;

/** The step that follows the result of a pass. */
export type GenerationStep =
    /** The next stage has to run the same positions. */
    | { kind: "nextStage"; stage: number; pass: NextPass; }
    /** A token was accepted. The first stage has to run it. */
    | { kind: "token"; text: string; stage: number; pass: NextPass; }
    /** The answer ended. The text of the last token may be empty. */
    | { kind: "ended"; text: string; finishReason: "stop" | "length"; }
    /** The result belongs to an earlier attempt, or it was already accepted. */
    | { kind: "stale"; reason: "attempt" | "position" | "layers"; }
    /** The result does not match the pass, so the attempt fails. */
    | { kind: "malformed"; message: string; };
