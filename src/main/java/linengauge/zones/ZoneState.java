package linengauge.zones;

/** How a zone, or a region, stands in the table. */
public enum ZoneState {
  /** Its viewers are served in it. */
  NEAR,
  /** It is served and has not room for all: part of its newcomers goes elsewhere. */
  SHARING,
  /** Nothing new is sent to it. */
  GIVEN_UP,
  /** It is taken back by a share that rises. */
  COMING_BACK;

  /** Whether it may stand so next; the way back from given up leads through coming back alone. */
  boolean mayBecome(ZoneState next) {
    return switch (this) {
      case NEAR, SHARING -> next != COMING_BACK;
      case GIVEN_UP -> next == COMING_BACK || next == GIVEN_UP;
      case COMING_BACK -> next != SHARING;
    };
  }
}
