/** The order of the filters of the holder pipe. */
import type { Filter } from "../pipeline/filter.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { Acquire } from "./acquire.ts";
import { Confirm } from "./confirm.ts";
import { Execute } from "./execute.ts";
import { Floors } from "./floors.ts";
import { Freshness } from "./freshness.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { Monitor } from "./monitor.ts";
import { Orders } from "./orders.ts";

/** The filters for one `Pipe`; the two numbers after `seed` feed the filters that draw random numbers. */
// The element type is erased for the same reason as in Pipe: each filter narrows Message to its own kinds.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export function holderFilters(settings: HolderSettings, seed: number): readonly Filter<any, any>[] {
    return [
        new Monitor({ settings }),
        new Orders({ settings }),
        new Freshness({ settings }),
        new Acquire({ settings, random: new SeededRandom(seed + 1) }),
        new Execute({ settings, random: new SeededRandom(seed + 2) }),
        new Floors({ settings }),
        new Confirm({ settings }),
    ];
}
