/** Counts the events and answers that pass through the event loop. */
import { type CallerAnswer, CallerKind } from "../model/callerMessages.ts";
import { OutcomeKind } from "../model/outcome.ts";
import { type Refusal, refusalTable } from "../model/refusal.ts";
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Counters } from "./counters.ts";

/** Maintains a counter for each kind of event, and for each outcome and refusal code of answers to callers. */
export class EventCounters implements LoopObserver {
    private readonly counters: Counters;

    constructor(counters: Counters) {
        this.counters = counters;
    }

    onEvent(message: Message): void {
        this.counters.count(`event.${message.kind}`);
    }

    onOutput(message: Message): void {
        if (message.kind === CallerKind.Answer) {
            this.countAnswer(message as CallerAnswer);
        }
    }

    private countAnswer({ outcome }: CallerAnswer): void {
        if (outcome.kind === OutcomeKind.Refused) {
            this.countRefusal(outcome.refusal);
        }
        else {
            this.counters.count("answer.served");
        }
    }

    private countRefusal({ code }: Refusal): void {
        const { execution } = refusalTable[code];
        this.counters.count(`answer.${execution.replaceAll(" ", "_")}`);
        this.counters.count(`refusal.${code}`);
    }
}
