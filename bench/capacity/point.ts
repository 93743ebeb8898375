/** One measurement: the variable and the quantity that was measured there. */
export interface Point {
    x: number;
    y: number;
}
