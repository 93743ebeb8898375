/** A connection whose reading can be paused for some turns of the event loop. */
export interface PacedReader {
    pauseTurn(): void;
    resumeTurn(): void;
}
