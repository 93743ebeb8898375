import type { UpstreamListener } from "../../connection/upstream/upstreamListener.ts";
import type { RequestGuard } from "./requestGuard.ts";

/** Creates a listener whose errors end its request only. */
export function guardListener(guard: RequestGuard, listener: Omit<UpstreamListener, "onError">): UpstreamListener {
    return {
        ...listener,
        onHead: (status, headers) => guard.run(() => listener.onHead(status, headers)),
        onData: chunk => guard.run(() => listener.onData(chunk)),
        onEnd: () => guard.run(() => listener.onEnd()),
        onFailure: failure => guard.run(() => listener.onFailure(failure)),
        onError: error => guard.handleError(error),
    };
}
