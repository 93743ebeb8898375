import type { CallKind } from "./callKind.ts";
import type { Customer } from "./customers.ts";
import type { PromptSeriesRole } from "./promptSeriesRole.ts";

/** A request that declares the parts of its prompt. */
export interface PromptCall {
    id: string;
    kind: CallKind;
    customer: Customer;
    role: PromptSeriesRole;
}
