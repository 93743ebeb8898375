import type { Result } from "../../result.ts";
import type { Chain } from "../chain/chain.ts";
import type { ChainChooser } from "../chain/chainChooser.ts";
import type { NoChainError } from "../chain/noChainError.ts";

/** Options of a {@link ChainSelection}. */
interface ChainSelectionOptions {
    model: string;
    dataCentre: string;
    chooser: ChainChooser;
}

/** Times that one answer leaves a stage that has become slow. */
const maximumSlowStages = 2;

/** The chains of one answer: without the endpoints that failed it, and with those that survived where that is as good. */
export class ChainSelection {
    private readonly options: ChainSelectionOptions;
    private readonly excluded = new Set<string>();
    private readonly survivors = new Set<string>();
    private slowStages = 0;

    private constructor(options: ChainSelectionOptions) {
        this.options = options;
    }

    /** Creates the selection of an answer that has not failed anywhere. */
    static create(options: ChainSelectionOptions): ChainSelection {
        return new ChainSelection(options);
    }

    /** @param positions - Positions of the first pass. */
    chooseChain(positions: number): Result<Chain, NoChainError> {
        return this.choose(positions, this.excluded);
    }

    hasExclusions(): boolean {
        return this.excluded.size > 0;
    }

    /** Lets the endpoints that failed be chosen again. */
    clearExclusions(): void {
        this.excluded.clear();
    }

    /** Notes that a chain broke at one endpoint. */
    observeBroken(chain: Chain, endpoint: string): void {
        this.excluded.add(endpoint);
        this.survivors.clear();
        for (const stage of chain.stages) {
            if (stage.endpoint !== endpoint) {
                this.survivors.add(stage.endpoint);
            }
        }
    }

    /**
     * Decides whether the answer leaves a slow stage: only where there is a chain without it, and not too often.
     * @param endpoint - Endpoint of the stage.
     */
    leaveSlowStage(endpoint: string): boolean {
        if (this.slowStages >= maximumSlowStages || !this.choose(1, new Set(this.excluded).add(endpoint)).ok) {
            return false;
        }
        this.slowStages += 1;
        return true;
    }

    private choose(positions: number, excluded: ReadonlySet<string>): Result<Chain, NoChainError> {
        const { chooser, model, dataCentre } = this.options;
        return chooser.chooseChain({ model, dataCentre, positions, excluded, preferred: this.survivors });
    }
}
