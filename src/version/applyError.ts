import type { TextFault } from "../process/jsonc/textFault.ts";
import type { ApplyErrorKind } from "./applyErrorKind.ts";

/** Why an edit of the configuration is not known to be in force. */
export interface ApplyError {
    kind: ApplyErrorKind;
    /** What happened and what to do about it. */
    message: string;
    /** Faults of the text, where it is broken. */
    faults?: TextFault[];
    /** Version that stands in the store, where the race was lost; 0 where there is none. */
    currentVersion?: number;
}
