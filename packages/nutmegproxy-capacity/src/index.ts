/** Public API of the capacity measurements. */

export {fitSlope} from './SlopeFit.ts';
export type {SizedFigure, Slope} from './SlopeFit.ts';
