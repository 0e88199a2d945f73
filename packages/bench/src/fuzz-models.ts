/** Every model that the fuzz command runs. */

import { ConfigFuzzModel } from "./fuzz-config.js";
import { OnceFuzzModel } from "./fuzz-once.js";
import { probingModel } from "./fuzz-probing.js";
import { membershipModel } from "./fuzz-membership.js";
import type { FuzzModel } from "./fuzz-model.js";

/** The models, one line each. */
export const fuzzModels: readonly FuzzModel[] = [
    new ConfigFuzzModel(),
    new OnceFuzzModel(),
    membershipModel(),
    probingModel(),
];
