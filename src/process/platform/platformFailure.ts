import type { PlatformError } from "./platformError.ts";

/** A failed exchange with the platform over HTTP. */
export interface PlatformFailure extends PlatformError {
    /** gRPC status code in the body of the answer, where an answer came and holds one. */
    grpcCode?: number;
}
