package linengauge.rehearsal;

import linengauge.Moment;

/** A process of the simulation, which runs the events delivered to it one after another. */
interface SimulatedProcess {
  /** Delivers an event; it is dropped where the process has died. */
  void deliver(Runnable event);

  /** The process's own time, which is ahead of the virtual clock while it runs an event. */
  Moment now();

  /** A process that runs events in no time and never dies, as all models of peers do. */
  static SimulatedProcess instantaneous(VirtualClock clock) {
    return new SimulatedProcess() {
      @Override
      public void deliver(Runnable event) {
        event.run();
      }

      @Override
      public Moment now() {
        return clock.now();
      }
    };
  }
}
