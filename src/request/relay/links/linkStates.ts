import type { EventLog } from "../../../process/logging/eventLog.ts";
import type { DataCentreLink } from "./dataCentreLink.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { LinkGate } from "./linkGate.ts";
import type { LinkState } from "./linkState.ts";
import { LinkTraffic } from "./linkTraffic.ts";

/** Options of {@link LinkStates}. */
interface LinkStatesOptions {
    log: EventLog;
    /** Called when a link is closed or open again. */
    onClosed?(link: DataCentreLink, isClosed: boolean): void;
}

/** The states of the links that this node or a peer has needed since the start. */
export class LinkStates {
    private readonly options: LinkStatesOptions;
    private readonly states = new Map<string, LinkState>();

    private constructor(options: LinkStatesOptions) {
        this.options = options;
    }

    /** Creates an instance that knows of no link. */
    static create(options: LinkStatesOptions): LinkStates {
        return new LinkStates(options);
    }

    /** Gets the state of a link. It is open and unused if it is not known yet. */
    get(from: string, to: string): LinkState {
        const key = formatDataCentreLink(from, to);
        const known = this.states.get(key);
        if (known !== undefined) {
            return known;
        }
        const link = { from, to };
        const { log, onClosed } = this.options;
        const state: LinkState = {
            link,
            gate: LinkGate.create({ link, log, onChange: isClosed => onClosed?.(link, isClosed) }),
            traffic: LinkTraffic.create(),
            contendedAt: -Infinity,
        };
        this.states.set(key, state);
        return state;
    }

    /** Gets the state of a known link by its text, as {@link formatDataCentreLink} creates it. */
    getByKey(key: string): LinkState {
        return this.states.get(key)!;
    }

    /** Lists the states of all known links. */
    list(): LinkState[] {
        return [...this.states.values()];
    }
}
