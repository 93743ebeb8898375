/** One measurement: a value of the variable and the quantity measured at it. */
export interface Point {
    x: number;
    y: number;
}
