import { connect, Socket } from "node:net";
import type { Address } from "../../src/process/settings/address.ts";
import { LinkCut } from "./linkCut.ts";
import { LoopbackProxy } from "./loopbackProxy.ts";
import { ProxyMode } from "./proxyMode.ts";

/** A port of the loopback address on which nothing listens. */
const closedPort = 1;

/** The links of one node to all endpoints, which can be cut without affecting other nodes. */
export class NodeLinks {
    private readonly proxies = new Map<string, LoopbackProxy>();
    private cut: LinkCut = LinkCut.None;
    private isCutOff: (address: string) => boolean = () => false;

    private constructor() {}

    /** Creates links that work. */
    static create(): NodeLinks {
        return new NodeLinks();
    }

    /** Creates the proxy of an endpoint. It must exist before the node connects to the endpoint. */
    async add(address: string): Promise<void> {
        this.proxies.set(address, await LoopbackProxy.create(() => address));
    }

    /**
     * Cuts or restores links.
     * @param cut - How the links are cut.
     * @param isCutOff - Selects the endpoints that are cut off, by address. Default: all.
     */
    setCut(cut: LinkCut, isCutOff: (address: string) => boolean = () => true): void {
        this.cut = cut;
        this.isCutOff = isCutOff;
        for (const [address, proxy] of this.proxies) {
            if (!isCutOff(address) || cut === LinkCut.None) {
                proxy.setMode(ProxyMode.Pass);
            }
            else if (cut === LinkCut.Silent) {
                proxy.setMode(ProxyMode.Silence);
            }
            else if (cut === LinkCut.Reset) {
                proxy.resetConnections();
            }
        }
    }

    /** Creates the socket of a new connection of the node to an endpoint. */
    createSocket({ host, port }: Address): Socket {
        const address = `${host}:${port}`;
        if (this.cut !== LinkCut.None && this.isCutOff(address)) {
            return this.cut === LinkCut.Silent ? new Socket() : connect({ host, port: closedPort });
        }
        const [proxyHost, proxyPort] = (this.proxies.get(address)?.getAddress() ?? address).split(":");
        return connect({ host: proxyHost!, port: Number(proxyPort), noDelay: true });
    }

    /** Closes the proxies. */
    async close(): Promise<void> {
        for (const proxy of this.proxies.values()) {
            await proxy.close();
        }
    }
}
