/** The holder pipe in the order of src/wiring/buildPipes.ts. */
import { Acquire } from "../src/holder/acquire.ts";
import { Confirm } from "../src/holder/confirm.ts";
import { Execute } from "../src/holder/execute.ts";
import { Floors } from "../src/holder/floors.ts";
import { Freshness } from "../src/holder/freshness.ts";
import { defaultHolderSettings as settings } from "../src/holder/holderSettings.ts";
import { Monitor } from "../src/holder/monitor.ts";
import { Orders } from "../src/holder/orders.ts";
import { Pipe } from "../src/pipeline/pipe.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";

export function buildHolderPipe(seed: number): Pipe {
    return new Pipe("holder", [
        new Monitor({ settings }),
        new Orders({ settings }),
        new Freshness({ settings }),
        new Acquire({ settings, random: new SeededRandom(seed + 1) }),
        new Execute({ settings, random: new SeededRandom(seed + 2) }),
        new Floors({ settings }),
        new Confirm({ settings }),
    ]);
}
