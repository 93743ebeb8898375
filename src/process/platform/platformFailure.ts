import type { PlatformError } from "./platformError.ts";

/** Error of an HTTP call to the platform. */
export interface PlatformFailure extends PlatformError {
    /** gRPC status code in the body of the response, if there is one. */
    grpcCode?: number;
}
