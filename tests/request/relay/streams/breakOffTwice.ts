import type { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { UpstreamFailureKind } from "../../../../src/connection/upstream/upstreamFailureKind.ts";
import { createEndpoint } from "../relayModel.ts";
import { SuspectBench } from "./suspectBench.ts";

const layers = { start: 0, end: 80 };
const broken = { kind: UpstreamFailureKind.Broken, message: "reset" };
/** Time from the first event of each attempt until its connection breaks, in milliseconds. */
const runMilliseconds = 50;

/**
 * Starts a stream that two endpoints break off after an event each.
 * @param endpointCount - Number of endpoints, all of which the route allows.
 * @param pathState - What the tests of the paths to them show.
 */
export async function breakOffTwice(endpointCount: number, pathState: PathState): Promise<SuspectBench> {
    const endpoints = Array.from(
        { length: endpointCount },
        (_, index) => createEndpoint(String(index + 1), { layers }),
    );
    const stream = SuspectBench.create({ endpoints, isResumable: true, maximumAttempts: endpointCount });
    const { bench, detector, relay } = stream;
    bench.pathState = pathState;
    detector.remove(relay);
    stream.begin();
    await bench.clock.advance(runMilliseconds);
    stream.getLast().listener.onFailure(broken);
    stream.markSent();
    stream.getLast().listener.onHead(200, { "request-id": "request", "response-seal": "s" });
    stream.sendEvent(2);
    await bench.clock.advance(runMilliseconds);
    stream.getLast().listener.onFailure(broken);
    return stream;
}
