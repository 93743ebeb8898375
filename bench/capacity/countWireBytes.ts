import { LoopbackProxy } from "../../standins/network/loopbackProxy.ts";

/**
 * Counts the bytes that calls transfer in both directions, without TCP and IP headers.
 * @param address - host:port of the server.
 * @param run - Makes the calls to the address of a proxy that is passed to it.
 */
export async function countWireBytes(address: string, run: (address: string) => Promise<unknown>): Promise<number> {
    const proxy = await LoopbackProxy.create(() => address);
    await run(proxy.getAddress());
    const bytes = proxy.getByteCount();
    await proxy.close();
    return bytes;
}
