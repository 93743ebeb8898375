import type { UpstreamFailureKind } from "./upstreamFailureKind.ts";

/** A failed exchange with an endpoint. */
export interface UpstreamFailure {
    kind: UpstreamFailureKind;
    message: string;
}
