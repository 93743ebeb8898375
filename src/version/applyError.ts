import type { TextFault } from "../process/jsonc/textFault.ts";
import type { ApplyErrorKind } from "./applyErrorKind.ts";

/** Error of an edit of the configuration that failed or whose outcome is unknown. */
export interface ApplyError {
    kind: ApplyErrorKind;
    /** What happened and what to do about it. */
    message: string;
    /** Errors in the text, if it is invalid. */
    faults?: TextFault[];
    /** Version in the store if another edit came first; 0 if the store is empty. */
    currentVersion?: number;
}
