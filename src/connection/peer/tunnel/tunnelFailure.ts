import type { TunnelFailureKind } from "./tunnelFailureKind.ts";

/** A failure to open a tunnel through a peer. Nothing was sent to the endpoint. */
export class TunnelFailure {
    readonly kind: TunnelFailureKind;
    readonly message: string;

    private constructor(kind: TunnelFailureKind, message: string) {
        this.kind = kind;
        this.message = message;
    }

    /** Creates a failure. */
    static create(kind: TunnelFailureKind, message: string): TunnelFailure {
        return new TunnelFailure(kind, message);
    }
}
