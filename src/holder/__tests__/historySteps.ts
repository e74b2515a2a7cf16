/** Generator for the steps of a test history: statements, faults, replication, lease changes and passing time. */
import fc from "fast-check";

/** One step of a generated history. */
export type Step =
    | { readonly action: "statement"; readonly session: number; readonly choice: number; }
    | { readonly action: "resend"; readonly index: number; }
    | { readonly action: "end session"; readonly session: number; }
    | { readonly action: "lose stream"; readonly session: number; }
    | { readonly action: "cut" | "silence" | "drop" | "stale result"; readonly index: number; }
    | { readonly action: "refuse connections" | "accept connections" | "replicate all" | "expire lease" | "new epoch"; }
    | { readonly action: "replicate"; readonly replica: number; readonly count: number; }
    | { readonly action: "renew lease"; readonly durationMs: number; }
    | { readonly action: "wait" | "freeze"; readonly durationMs: number; };

const session = fc.integer({ min: 0, max: 3 });
const index = fc.integer({ min: 0, max: 50 });
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 28,
        arbitrary: fc.record({ action: fc.constant("statement" as const), session, choice: index }),
    },
    { weight: 2, arbitrary: fc.record({ action: fc.constant("resend" as const), index }) },
    { weight: 1, arbitrary: fc.record({ action: fc.constant("end session" as const), session }) },
    { weight: 1, arbitrary: fc.record({ action: fc.constant("lose stream" as const), session }) },
    {
        weight: 3,
        arbitrary: fc.record({
            action: fc.constantFrom("cut" as const, "silence", "drop", "stale result"),
            index,
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            action: fc.constantFrom(
                "refuse connections" as const,
                "accept connections",
                ...Array.from({ length: 6 }, () => "replicate all" as const),
                "expire lease",
                "new epoch",
            ),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            action: fc.constant("replicate" as const),
            replica: fc.integer({ min: 1, max: 2 }),
            count: fc.integer({ min: 1, max: 4 }),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            action: fc.constant("renew lease" as const),
            durationMs: fc.integer({ min: 100, max: 3_000 }),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            action: fc.constant("freeze" as const),
            durationMs: fc.integer({ min: 1, max: 2_000 }),
        }),
    },
    {
        weight: 12,
        arbitrary: fc.record({ action: fc.constant("wait" as const), durationMs: fc.integer({ min: 0, max: 40 }) }),
    },
);
