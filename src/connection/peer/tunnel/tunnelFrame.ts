import type { TunnelFrameKind } from "./tunnelFrameKind.ts";

/** A message from the far end of a tunnel. */
export interface TunnelFrame {
    kind: TunnelFrameKind;
    payload: Buffer;
}
