import { LoopbackProxy } from "../../standins/network/loopbackProxy.ts";

/**
 * Counts the bytes that calls move in both directions, without the headers of TCP and IP.
 * @param address - host:port that is called.
 * @param run - Makes the calls at the address that it is given.
 */
export async function countWireBytes(address: string, run: (address: string) => Promise<unknown>): Promise<number> {
    const relay = await LoopbackProxy.create(() => address);
    await run(relay.getAddress());
    const bytes = relay.getByteCount();
    await relay.close();
    return bytes;
}
