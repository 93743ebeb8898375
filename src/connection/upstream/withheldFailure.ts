import type { UpstreamFailure } from "./upstreamFailure.ts";
import { UpstreamFailureKind } from "./upstreamFailureKind.ts";

/** Failure of an exchange whose listener disallowed the request before it was written. */
export const withheldFailure: Readonly<UpstreamFailure> = {
    kind: UpstreamFailureKind.Withheld,
    message: "The request was withheld before it was written.",
};
