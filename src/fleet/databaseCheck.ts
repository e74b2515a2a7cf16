/** What the control leader asks databases on links of its own beside the fencing of a promotion. */
import type { LinkLost, LinkOpened, LinkReplied } from "../model/linkMessages.ts";
import type { Message } from "../pipeline/message.ts";

/** Gets the events of all links, and ignores those of links that it has not opened. */
export interface DatabaseCheck {
    linkOpened(message: LinkOpened, nowMs: number): readonly Message[];
    linkReplied(message: LinkReplied, nowMs: number): readonly Message[];
    linkLost(message: LinkLost, nowMs: number): void;
    close(): readonly Message[];
}
