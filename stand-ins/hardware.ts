import type {EngineModelCfg} from './engine-model.js';

/** What the engines of a hardware generation have in common. */
export type HardwareCfg = Pick<EngineModelCfg, 'speed' | 'memoryTokens'>;

/** Hardware generations of the examples. */
export const hardware: Readonly<Record<string, HardwareCfg>> = {
  'gen-1': {speed: 1, memoryTokens: 80_000},
  'gen-2': {speed: 1.8, memoryTokens: 160_000},
};
