/** How the holder of a database limits the statements that it has in flight there. */
export const Pace = {
    /** By how the server answers: a small window that grows with quick answers, and shrinks with slow or failed ones. */
    Adaptive: "adaptive",
    /** By the connections to the server alone. */
    Off: "off",
} as const;
export type Pace = typeof Pace[keyof typeof Pace];
